/**
 * Selects the VMs that one VM exchanges heartbeats with: a bounded number, however large the fleet.
 */

import * as kernel from "@hemlockwalk/kernel";
import type * as model from "@hemlockwalk/model";
import * as rendezvous from "./rendezvous.ts";

/** Number of successors on the ring that a VM monitors; as many predecessors monitor the VM. */
const SUCCESSOR_COUNT = 2;

/** Distances to further neighbours, as fractions of the ring of the VM's own data centre. */
const FINGER_FRACTIONS = [0.5, 0.125] as const;

/** Number of neighbours in other data centres, at most one in each. */
const REMOTE_NEIGHBOUR_COUNT = 2;

const HASH_RANGE = 2 ** 32;

/** A VM and its data centre. */
export interface VmLocation {
  readonly vm: model.VmId;
  readonly dataCentre: model.DataCentreId;
}

interface RingNode extends VmLocation {
  readonly position: number;
}

/**
 * Picks the neighbours of a VM.
 *
 * The successors on a ring of all VMs, ordered by data centre and hash, make sure that every VM is
 * monitored. Neighbours further away in the same data centre and in other data centres keep the
 * number of hops between any two VMs small. All neighbours are determined by hashes, so that a
 * change of the fleet changes few of them.
 *
 * @param vms All VMs except dead ones, the VM itself included.
 */
export function pickNeighbours(self: VmLocation, vms: readonly VmLocation[]): model.VmId[] {
  const ring = vms.map(createRingNode).sort(compareRingNodes);
  const picked = new Set<model.VmId>();
  const own = ring.findIndex((node) => node.vm === self.vm);
  kernel.assert(own >= 0, "The list includes the VM itself.");
  for (let step = 1; step <= SUCCESSOR_COUNT; step++) {
    picked.add(getNode(ring, (own + step) % ring.length).vm);
  }
  const byDataCentre = new Map<model.DataCentreId, RingNode[]>();
  for (const node of ring) {
    const group = byDataCentre.get(node.dataCentre) ?? [];
    group.push(node);
    byDataCentre.set(node.dataCentre, group);
  }
  const { position } = createRingNode(self);
  for (const fraction of FINGER_FRACTIONS) {
    const group = kernel.getDefined(
      byDataCentre.get(self.dataCentre),
      "The VM's own group exists.",
    );
    picked.add(findSuccessor(group, position + fraction * HASH_RANGE));
  }
  byDataCentre.delete(self.dataCentre);
  for (
    const dataCentre of rendezvous.rankOwners(
      self.vm,
      [...byDataCentre.keys()],
      REMOTE_NEIGHBOUR_COUNT,
    )
  ) {
    const group = kernel.getDefined(byDataCentre.get(dataCentre), "Each data centre has a group.");
    picked.add(findSuccessor(group, position));
  }
  picked.delete(self.vm);
  return [...picked];
}

function createRingNode(location: VmLocation): RingNode {
  return {
    vm: location.vm,
    dataCentre: location.dataCentre,
    position: rendezvous.hashText(location.vm),
  };
}

function compareRingNodes(left: RingNode, right: RingNode): number {
  if (left.dataCentre !== right.dataCentre) {
    return left.dataCentre < right.dataCentre ? -1 : 1;
  }
  if (left.position !== right.position) {
    return left.position - right.position;
  }
  return left.vm < right.vm ? -1 : 1;
}

function findSuccessor(group: readonly RingNode[], position: number): model.VmId {
  const wrapped = position % HASH_RANGE;
  const found = group.find((node) => node.position >= wrapped);
  return (found ?? getNode(group, 0)).vm;
}

function getNode(nodes: readonly RingNode[], index: number): RingNode {
  return kernel.getDefined(nodes[index], "The index is within the ring.");
}
