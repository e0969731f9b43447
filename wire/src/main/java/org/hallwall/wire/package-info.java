/**
 * The protocol between the project's own processes: TCP frames with MessagePack bodies.
 *
 * <p>A frame is a four-byte length followed by a kind (integer), a correlation number (integer, zero for one-way
 * messages), a flag that marks replies, and the body, all in MessagePack.
 */
package org.hallwall.wire;
