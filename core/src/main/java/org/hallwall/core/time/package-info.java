/** Clocks that tests can replace. */
package org.hallwall.core.time;
