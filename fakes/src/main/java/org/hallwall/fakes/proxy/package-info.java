/** A small proxy that delays and cuts TCP connections, for failure tests. */
package org.hallwall.fakes.proxy;
