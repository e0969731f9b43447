/** A caller's request as the filters hand it on. */
package org.hallwall.entry.exchange;
