/**
 * Chooses the VM that serves a request for a VM that is cut off from the targets.
 *
 * Designed for the loss of the path of a few VMs, or of most or all of a data centre. VMs of the own
 * data centre are near, but few of them may be left, so that they would carry the requests of all.
 */

import type * as model from "@hemlockwalk/model";

/** Share of a data centre's VMs that must have a path for the others to keep to them. */
const MIN_LOCAL_SHARE = 0.5;

/** Another VM. */
export interface Peer {
  readonly vm: model.VmId;
  readonly isLocal: boolean;
  /** Whether it has a path to the targets, as far as it has told. */
  readonly hasPath: boolean;
  /** Whether this VM could not connect to it, or it refused a request, a short time ago. */
  readonly isAvoided: boolean;
  /** Requests of this VM that it serves at present. */
  readonly load: number;
}

/** Chooses among the peers; undefined if none is left. `random` returns numbers from 0 to 1. */
export function choosePeer<SomePeer extends Peer>(
  peers: readonly SomePeer[],
  random: () => number = Math.random,
): SomePeer | undefined {
  const usable = peers.filter(({ hasPath, isAvoided }) => hasPath && !isAvoided);
  const local = peers.filter(({ isLocal }) => isLocal);
  const usableLocal = usable.filter(({ isLocal }) => isLocal);
  const isLocalEnough = usableLocal.length > 0 &&
    usableLocal.length >= local.length * MIN_LOCAL_SHARE;
  const candidates = isLocalEnough ? usableLocal : usable;
  const first = candidates[Math.floor(random() * candidates.length)];
  const second = candidates[Math.floor(random() * candidates.length)];
  const isSecond = first !== undefined && second !== undefined && second.load < first.load;
  return isSecond ? second : first;
}
