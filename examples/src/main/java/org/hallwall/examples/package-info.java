/** Small programs that show how to use hallwall's modules. */
package org.hallwall.examples;
