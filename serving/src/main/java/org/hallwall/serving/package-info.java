/** Serving behind an adapter: the parts that do not depend on any wire names. */
package org.hallwall.serving;
