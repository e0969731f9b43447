/** Queueing requests and choosing the group that runs each. */
package org.hallwall.entry.routing;
