/** The transparent relay of requests to targets. */
package org.hallwall.serving.relay;
