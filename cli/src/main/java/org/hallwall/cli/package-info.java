/** The operators' client {@code hallwall}. */
package org.hallwall.cli;
