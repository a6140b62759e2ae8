/**
 * Targets in turn, with the declared slots counted on this VM alone. The baseline of the other pools.
 */

import * as configuration from "@hemlockwalk/configuration";
import * as kernel from "@hemlockwalk/kernel";
import type * as model from "@hemlockwalk/model";
import type * as types from "./types.ts";

/** Takes the targets of a service in turn. */
export class RoundRobinPool implements types.TargetPool {
  readonly #configuration: configuration.ConfigurationService;
  readonly #running = new Map<model.TargetId, number>();
  readonly #next = new Map<model.ServiceId, number>();
  readonly #listeners: ((service: model.ServiceId) => void)[] = [];

  constructor(configurationService: configuration.ConfigurationService) {
    this.#configuration = configurationService;
    configurationService.onChange((change) => {
      for (const service of change.current.listServices()) {
        this.#notify(service.id);
      }
    });
  }

  tryAcquire(request: types.TargetRequest): types.TargetLease | undefined {
    const snapshot = this.#configuration.getSnapshot();
    const service = snapshot?.findService(request.service);
    if (snapshot === undefined || service === undefined) {
      return undefined;
    }
    const targets = snapshot.listTargets(service.id);
    const first = this.#next.get(service.id) ?? 0;
    for (let offset = 0; offset < targets.length; offset++) {
      const index = (first + offset) % targets.length;
      const target = kernel.getDefined(targets[index], "The index is within the list.");
      if (this.#isUsable(target, service, request)) {
        this.#next.set(service.id, index + 1);
        return this.#createLease(target);
      }
    }
    return undefined;
  }

  getConnectionLimit(target: model.TargetId): number {
    const snapshot = this.#configuration.getSnapshot();
    const service = snapshot?.findTarget(target)?.service;
    const connections = service && snapshot?.findService(service)?.connections;
    return Math.max(1, Math.floor((connections ?? 1) / (snapshot?.fleet.vmLimit ?? 1)));
  }

  onCapacity(listener: (service: model.ServiceId) => void): void {
    this.#listeners.push(listener);
  }

  #isUsable(
    target: model.Target,
    service: model.Service,
    request: types.TargetRequest,
  ): boolean {
    const running = this.#running.get(target.id) ?? 0;
    return !target.leaving && !request.exclude.has(target.id) && running < service.slots;
  }

  #createLease(target: model.Target): types.TargetLease {
    this.#running.set(target.id, (this.#running.get(target.id) ?? 0) + 1);
    let released = false;
    const release = () => {
      if (released) {
        return;
      }
      released = true;
      this.#running.set(target.id, (this.#running.get(target.id) ?? 1) - 1);
      this.#notify(target.service);
    };
    return { target, release };
  }

  #notify(service: model.ServiceId): void {
    for (const listener of this.#listeners) {
      listener(service);
    }
  }
}

/** The name under which the target pool is found. */
export const TARGET_POOL = kernel.createServiceName<types.TargetPool>("target-pool");
