/** Handing requests to other entries: to the one that runs a key, to a key's home, to a domain with a complete group. */
package org.hallwall.entry.forward;
