/** The entry program: its settings, its links and its parts put together. */
package org.hallwall.entry;
