/** The load and experiment tool {@code hallwall-load}. */
package org.hallwall.load;
