/**
 * The replicated log of declarations.
 *
 * <p>{@link org.hallwall.log.LogReplica} decides (messages in, actions out, no clock and no I/O of its own);
 * {@link org.hallwall.log.LogVoter} carries the actions out; {@link org.hallwall.log.LogStore} keeps what must last.
 */
package org.hallwall.log;
