/**
 * Which VMs one VM talks to regularly: a bounded number, however large the fleet.
 */

import * as kernel from "@hemlockwalk/kernel";
import type * as model from "@hemlockwalk/model";
import * as rendezvous from "./rendezvous.ts";

/** Every VM is watched by so many predecessors on the ring. */
const SUCCESSORS = 2;

/** Parts of the own data centre's ring at which further neighbours stand. */
const FINGER_FRACTIONS = [0.5, 0.125] as const;

/** Neighbours in other data centres, each in another one. */
const BRIDGES = 2;

const HASH_RANGE = 2 ** 32;

/** Where a VM is. */
export interface Place {
  readonly vm: model.VmId;
  readonly dataCentre: model.DataCentreId;
}

interface RingPlace extends Place {
  readonly position: number;
}

/**
 * Picks the neighbours of a VM.
 *
 * The successors on a ring of all VMs, ordered by data centre and hash, make sure that every VM is
 * watched. Neighbours further along the own data centre and in other data centres keep the number of
 * hops between any two VMs small. All are fixed by hashes, so that a change of the fleet changes few.
 *
 * @param places All VMs but dead ones, the VM itself included.
 */
export function pickNeighbours(self: Place, places: readonly Place[]): model.VmId[] {
  const ring = places.map(locate).sort(compareRingPlaces);
  const picked = new Set<model.VmId>();
  const own = ring.findIndex((place) => place.vm === self.vm);
  kernel.assert(own >= 0, "A VM is a member of its own fleet.");
  for (let step = 1; step <= SUCCESSORS; step++) {
    picked.add(getDefinedPlace(ring, (own + step) % ring.length).vm);
  }
  const byDataCentre = new Map<model.DataCentreId, RingPlace[]>();
  for (const place of ring) {
    const group = byDataCentre.get(place.dataCentre) ?? [];
    group.push(place);
    byDataCentre.set(place.dataCentre, group);
  }
  const { position } = locate(self);
  for (const fraction of FINGER_FRACTIONS) {
    const group = kernel.getDefined(byDataCentre.get(self.dataCentre), "The own group exists.");
    picked.add(findSuccessor(group, position + fraction * HASH_RANGE));
  }
  byDataCentre.delete(self.dataCentre);
  for (const dataCentre of rendezvous.rankOwners(self.vm, [...byDataCentre.keys()], BRIDGES)) {
    const group = kernel.getDefined(byDataCentre.get(dataCentre), "The group exists.");
    picked.add(findSuccessor(group, position));
  }
  picked.delete(self.vm);
  return [...picked];
}

function locate(place: Place): RingPlace {
  return {
    vm: place.vm,
    dataCentre: place.dataCentre,
    position: rendezvous.hashText(place.vm),
  };
}

function compareRingPlaces(left: RingPlace, right: RingPlace): number {
  if (left.dataCentre !== right.dataCentre) {
    return left.dataCentre < right.dataCentre ? -1 : 1;
  }
  if (left.position !== right.position) {
    return left.position - right.position;
  }
  return left.vm < right.vm ? -1 : 1;
}

function findSuccessor(group: readonly RingPlace[], position: number): model.VmId {
  const wrapped = position % HASH_RANGE;
  const found = group.find((place) => place.position >= wrapped);
  return (found ?? getDefinedPlace(group, 0)).vm;
}

function getDefinedPlace(places: readonly RingPlace[], index: number): RingPlace {
  return kernel.getDefined(places[index], "The index is within the ring.");
}
