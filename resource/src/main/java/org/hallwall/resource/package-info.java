/** The resources that operators declare, and the messages that spread them and report their status. */
package org.hallwall.resource;
