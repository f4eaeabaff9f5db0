package org.baobabspindle.core.log;

import org.baobabspindle.core.id.FabricDomain;
import org.baobabspindle.core.id.Incarnation;
import org.baobabspindle.core.id.LogOffset;

/**
 * The claim in force on a fabric domain. It makes its holder the keeper of the domain, the only entry that may form and
 * dissolve groups there. Its epoch distinguishes it from earlier and later claims.
 *
 * @param domain the fabric domain
 * @param holder the entry that keeps the domain
 * @param epoch the offset of the record of the claim
 * @param renewedAt the offset of the latest renewal, or of the claim if it was never renewed
 */
public record KeeperClaim(FabricDomain domain, Incarnation holder, LogOffset epoch, LogOffset renewedAt) {}
