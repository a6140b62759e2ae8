/**
 * Shows operators which data centres are evacuated, and warns of orders and homes that name a data
 * centre or a region that there is not.
 */

import type * as declarations from "@hemlockwalk/declarations";
import * as kernel from "@hemlockwalk/kernel";
import type * as model from "@hemlockwalk/model";
import type * as placement from "@hemlockwalk/placement";

/** Time after which the targets of an evacuated data centre are known if it has any. */
const TARGETS_KNOWN_AFTER_MILLISECONDS = 5_000;

/** Exports and checks the orders in force. */
export class EvacuationMonitor {
  readonly #directory: declarations.TargetDirectory;
  readonly #evacuations: declarations.Evacuations;
  readonly #homePolicy: placement.HomePolicy;
  readonly #logger: kernel.ComponentLogger;
  readonly #warnedDataCentres = new Set<model.DataCentreId>();
  readonly #warnedRegions = new Set<model.RegionId>();

  constructor(
    store: declarations.DeclarationStore,
    directory: declarations.TargetDirectory,
    evacuations: declarations.Evacuations,
    homePolicy: placement.HomePolicy,
    logger: kernel.ComponentLogger,
    metrics: kernel.Metrics,
  ) {
    this.#directory = directory;
    this.#evacuations = evacuations;
    this.#homePolicy = homePolicy;
    this.#logger = logger;
    metrics.createGauge(
      "hemlockwalk_evacuated_data_centres",
      "Data centres that are evacuated, as far as this VM knows.",
      () => evacuations.listOrders().length,
    );
    metrics.createLabelledGauge(
      "hemlockwalk_evacuated_seconds",
      "Time since this VM learnt that a data centre is evacuated, by data centre.",
      "data_centre",
      () => this.#listAges(),
    );
    store.onVersion((view) => this.#checkHomes(view.declarations));
  }

  /** Warns once of each order that has no target. */
  check(): void {
    const now = kernel.getMonotonicMilliseconds();
    const orders = this.#evacuations.listOrders().filter(({ dataCentre, since }) =>
      now - since >= TARGETS_KNOWN_AFTER_MILLISECONDS && !this.#warnedDataCentres.has(dataCentre) &&
      !this.#homePolicy.isKnownDataCentre(dataCentre)
    );
    if (orders.length === 0) {
      return;
    }
    const known = new Set(
      this.#directory.listChanges().map(({ entry }) => entry?.dataCentre),
    );
    for (const { dataCentre } of orders.filter((order) => !known.has(order.dataCentre))) {
      this.#warnedDataCentres.add(dataCentre);
      this.#logger.write(kernel.LogMessages.evacuationUnknown, { dataCentre });
    }
  }

  #listAges(): (readonly [string, number])[] {
    const now = kernel.getMonotonicMilliseconds();
    return this.#evacuations.listOrders().map(({ dataCentre, since }) =>
      [dataCentre, Math.round((now - since) / 1_000)] as const
    );
  }

  #checkHomes({ routes, workspaces, version }: declarations.Declarations): void {
    const regions = new Set(
      [...routes, ...workspaces].flatMap(({ homes }) => this.#homePolicy.listUnknown(homes)),
    );
    for (const region of regions) {
      if (!this.#warnedRegions.has(region)) {
        this.#warnedRegions.add(region);
        this.#logger.write(kernel.LogMessages.homeUnknown, { region, version });
      }
    }
  }
}
