/**
 * Test fixtures of the pool: configurations, identities, and fakes of the services that it uses.
 */

import type * as configuration from "@hemlockwalk/configuration";
import * as configurationTesting from "@hemlockwalk/configuration/testing";
import * as fleet from "@hemlockwalk/fleet";
import * as kernel from "@hemlockwalk/kernel";
import * as model from "@hemlockwalk/model";
import type * as types from "../src/types.ts";

export const SERVICE = model.createServiceId("permits");
export const ROUTE = model.createRouteId("browse");
export const OTHER_ROUTE = model.createRouteId("book");

/** The service and targets that a test declares. */
export interface Declaration {
  readonly targets: number;
  readonly dataCentres: number;
  readonly floor?: number;
  readonly slots?: number;
  readonly connections?: number;
  readonly vmLimit?: number;
  readonly leaving?: ReadonlySet<number>;
}

/** The data centre with the given position. */
export function getDataCentre(index: number): model.DataCentreId {
  return model.createDataCentreId(`north-${index + 1}`);
}

/** The target with the given position. Targets are spread over the data centres in turn. */
export function getTargetId(index: number): model.TargetId {
  return model.createTargetId(`permits-${String(index + 1).padStart(3, "0")}`);
}

/** A configuration with one service. */
export function createSnapshot(declaration: Declaration, number = 1): configuration.Snapshot {
  const service: model.Service = {
    id: SERVICE,
    floor: declaration.floor ?? 0.7,
    slots: declaration.slots ?? 6,
    connections: declaration.connections ?? 330,
  };
  const targets = Array.from({ length: declaration.targets }, (_, index): model.Target => ({
    id: getTargetId(index),
    service: SERVICE,
    address: `127.0.0.1:${10_000 + index}`,
    dataCentre: getDataCentre(index % declaration.dataCentres),
    leaving: declaration.leaving?.has(index) ?? false,
  }));
  const vmLimit = declaration.vmLimit ?? 44;
  return new configurationTesting.PlainSnapshot({
    number,
    fleet: { vmLimit },
    services: [service],
    targets,
  });
}

/** Pauses that the test reports. */
export class FakePauses implements types.PauseSource {
  lastResumeMilliseconds = Number.NEGATIVE_INFINITY;
  readonly #listeners: ((milliseconds: number) => void)[] = [];

  onResume(listener: (milliseconds: number) => void): void {
    this.#listeners.push(listener);
  }

  resume(milliseconds: number): void {
    this.lastResumeMilliseconds = kernel.getMonotonicMilliseconds();
    for (const listener of this.#listeners) {
      listener(milliseconds);
    }
  }
}

/** The identities of a fleet whose VMs are spread over the data centres in turn. */
export function createIdentities(count: number, dataCentres: number): fleet.VmIdentity[] {
  return Array.from({ length: count }, (_, index) => ({
    vm: model.createVmId(`vm-${String(index + 1).padStart(3, "0")}`),
    incarnation: `life-${index}` as model.Incarnation,
    dataCentre: getDataCentre(index % dataCentres),
  }));
}

/** The view of a fleet in which all VMs are live. */
export function createMembers(identities: readonly fleet.VmIdentity[]): fleet.Member[] {
  return identities.map((identity) => ({ ...identity, address: "127.0.0.1:1", state: "live" }));
}

/** A logger that writes nothing. */
export function createLogger(): kernel.ComponentLogger {
  return new kernel.ComponentLogger(kernel.createSilentLogger(), "targets");
}
