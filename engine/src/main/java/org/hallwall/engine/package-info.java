/**
 * The interface to model engines and plain services: announcements, orders and runs.
 *
 * <p>All that hallwall knows of engines is in this module; {@link org.hallwall.engine.EngineClient} is the one place
 * that calls them.
 */
package org.hallwall.engine;
