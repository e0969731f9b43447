/** The control side: the replicated configuration and the feed to the entries. */
package org.hallwall.serving.control;
