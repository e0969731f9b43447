/** A stand-in for model engines and plain services, for tests, first steps and measurement. */
package org.hallwall.fakes;
