/**
 * One failure domain: its targets, its groups and its controller.
 *
 * <p>{@link org.hallwall.domain.TargetDirectory} holds what targets announce; {@link org.hallwall.domain.LeaseElector}
 * elects the controller; {@link org.hallwall.domain.GroupPlanner} decides; {@link org.hallwall.domain.DomainController}
 * carries the decisions out.
 */
package org.hallwall.domain;
