/** Tests with real processes, started by the real launchers, behind a fault proxy. */
package org.hallwall.integration;
