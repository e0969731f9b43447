/**
 * Claims on idempotency keys: a request with a key runs at most once, and whoever asks again gets the same answer.
 *
 * <p>A key is claimed at three entries of its home failure domain, picked by rendezvous hashing over the configured
 * entries, and two of them must grant it before anything is dispatched. Two grants of three always meet, so no
 * membership has to be agreed on, and an entry that returns after a pause can only add to what is known.
 */
package org.hallwall.entry.claim;
