/** What targets announce, and how control instances pass it on. */
package org.hallwall.serving.target;
