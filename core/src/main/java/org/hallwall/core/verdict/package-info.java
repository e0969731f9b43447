/** What a failure says about whether a request ran. */
package org.hallwall.core.verdict;
