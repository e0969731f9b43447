/** Running a request on a group and relaying its answer: whole, in order, and only its own. */
package org.hallwall.entry.relay;
