/** The path of a caller's request: one filter a class, from receiving it to settling it. */
package org.hallwall.entry.request;
