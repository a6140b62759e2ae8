/**
 * Which targets a VM may connect to, and with how many connections, so that all VMs together keep a
 * target's limit whatever they know of each other.
 */

import * as fleet from "@hemlockwalk/fleet";
import type * as model from "@hemlockwalk/model";

/** Standard deviations between the expected number of VMs at a target and its limit. */
const SAFETY_DEVIATIONS = 5;

/** Targets that each VM uses at the least, where there are as many. */
const LEAST_TARGETS = 2;

const HASH_RANGE = 2 ** 32;

/** Connections that a VM may hold to a target that it uses. */
export function getConnectionShare(connections: number, vmLimit: number): number {
  return Math.max(1, Math.floor(connections / vmLimit));
}

/**
 * The targets that a VM uses, in their order.
 *
 * While a target accepts a connection of each VM, all targets are used. Otherwise each VM draws its
 * own by hashing, with a probability that keeps the number of VMs at a target five standard deviations
 * below its limit. The draw depends on nothing but the two identifiers and the declared limits.
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
  const drawn = targets.map((target) => ({
    target,
    hash: fleet.hashText(`${vm}\n${target.id}`),
  }));
  const subset = drawn.filter(({ hash }) => hash < limit);
  if (subset.length >= LEAST_TARGETS) {
    return subset.map(({ target }) => target);
  }
  const lowest = [...drawn].sort((left, right) => left.hash - right.hash).slice(0, LEAST_TARGETS);
  return lowest.map(({ target }) => target);
}
