/** What all programs share: command line, logs, metrics, the admin port. */
package org.hallwall.program;
