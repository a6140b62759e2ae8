/**
 * Regions in which a request may be handled.
 *
 * Routes and workspaces state homes, and data centres lie in regions. A request with homes is sent
 * to targets there only; a data centre of unknown region is in none of them.
 */

import type * as model from "@hemlockwalk/model";

/** Regions in which a request may be handled; undefined for no limit. */
export type Homes = readonly model.RegionId[] | undefined;

/** The regions that both allow; none if they have none in common. */
export function intersectHomes(left: Homes, right: Homes): Homes {
  if (left === undefined || right === undefined) {
    return left ?? right;
  }
  return left.filter((region) => right.includes(region));
}

/** The regions of a deployment as one VM knows them. */
export interface Regions {
  readonly byDataCentre: ReadonlyMap<model.DataCentreId, model.RegionId>;
  /** Region of this VM; undefined if it is unknown. */
  readonly own: model.RegionId | undefined;
}

/** Decides where a request may go. */
export class HomePolicy {
  readonly #regions: Regions;

  constructor(regions: Regions) {
    this.#regions = regions;
  }

  /** Whether a request with these homes may be sent to a target in a data centre. */
  allowsTarget(homes: Homes, dataCentre: model.DataCentreId): boolean {
    if (homes === undefined) {
      return true;
    }
    const region = this.#regions.byDataCentre.get(dataCentre);
    return region !== undefined && homes.includes(region);
  }

  /**
   * Whether a request with these homes may be passed on to a VM in a data centre. Within this VM's
   * own region it does not leave a region in which it already is.
   */
  allowsPeer(homes: Homes, dataCentre: model.DataCentreId): boolean {
    const region = this.#regions.byDataCentre.get(dataCentre);
    return this.allowsTarget(homes, dataCentre) ||
      (region !== undefined && region === this.#regions.own);
  }

  /** Homes that are no region of this deployment. */
  listUnknown(homes: Homes): model.RegionId[] {
    const known = new Set(this.#regions.byDataCentre.values());
    return (homes ?? []).filter((region) => !known.has(region) && region !== this.#regions.own);
  }

  isKnownDataCentre(dataCentre: model.DataCentreId): boolean {
    return this.#regions.byDataCentre.has(dataCentre);
  }
}
