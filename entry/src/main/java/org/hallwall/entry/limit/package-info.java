/** Limits on workspaces and on retries. */
package org.hallwall.entry.limit;
