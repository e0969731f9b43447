/** The configuration as a whole: routes, services, workspaces and their keys. */
package org.hallwall.serving.config;
