/**
 * Selects the targets that a VM may connect to and limits its connections to each, so that all VMs
 * together stay within a target's limit without having to communicate.
 */

import * as fleet from "@hemlockwalk/fleet";
import type * as model from "@hemlockwalk/model";

/** Standard deviations between the expected number of VMs at a target and its limit. */
const SAFETY_DEVIATIONS = 5;

/** Minimum number of targets that each VM uses, if there are as many. */
const MINIMUM_TARGETS = 2;

const HASH_RANGE = 2 ** 32;

/** Connections that a VM may keep open to each target that it uses. */
export function getConnectionShare(connections: number, vmLimit: number): number {
  return Math.max(1, Math.floor(connections / vmLimit));
}

/**
 * The targets that a VM uses, in their order.
 *
 * If a target accepts a connection from each VM, all targets are used. Otherwise each VM selects
 * targets by hashing, with a probability that keeps the expected number of VMs per target five
 * standard deviations below the limit. The selection depends only on the two identifiers and the
 * declared limits.
 */
export function selectSubset(
  vm: model.VmId,
  targets: readonly model.Target[],
  connections: number,
  vmLimit: number,
): readonly model.Target[] {
  if (connections >= vmLimit) {
    return targets;
  }
  const expected = Math.max(1, connections - SAFETY_DEVIATIONS * Math.sqrt(connections));
  const limit = expected / vmLimit * HASH_RANGE;
  const hashed = targets.map((target) => ({
    target,
    hash: fleet.hashText(`${vm}\n${target.id}`),
  }));
  const subset = hashed.filter(({ hash }) => hash < limit);
  if (subset.length >= MINIMUM_TARGETS) {
    return subset.map(({ target }) => target);
  }
  const lowest = [...hashed].sort((left, right) => left.hash - right.hash).slice(
    0,
    MINIMUM_TARGETS,
  );
  return lowest.map(({ target }) => target);
}
