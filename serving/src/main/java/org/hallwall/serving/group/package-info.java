/** Groups with a head: planning, orders and repair. */
package org.hallwall.serving.group;
