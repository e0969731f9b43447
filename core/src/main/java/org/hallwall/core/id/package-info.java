/** Value types for identifiers. */
package org.hallwall.core.id;
