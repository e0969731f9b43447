/** What an entry exchanges with voters, with the other entries of its failure domain and with targets. */
package org.hallwall.entry.peer;
