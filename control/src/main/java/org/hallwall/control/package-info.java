/** The voter program: the replicated declarations and the resource API. */
package org.hallwall.control;
