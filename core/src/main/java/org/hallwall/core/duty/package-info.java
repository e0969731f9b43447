/** A thread for each duty, fed by a bounded ring. */
package org.hallwall.core.duty;
