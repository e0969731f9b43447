/** Settings files: JSON with comments, checked against a schema. */
package org.hallwall.core.settings;
