/**
 * Creates the target pool of a VM from the VM's registered services.
 */

import * as configuration from "@hemlockwalk/configuration";
import * as fleet from "@hemlockwalk/fleet";
import * as kernel from "@hemlockwalk/kernel";
import * as model from "@hemlockwalk/model";
import * as adaptivePool from "./adaptive_pool.ts";
import * as probes from "./http_probe.ts";
import type * as types from "./types.ts";

/** The service name of the target pool. */
export const TARGET_POOL = kernel.createServiceName<types.TargetPool>("target-pool");

/**
 * Creates the target pool. The services that it uses must already be registered. Without a peer
 * network or a membership, the VM evaluates targets by its own calls alone.
 */
export function createTargetPool(
  services: kernel.Kernel,
  settings: model.Settings,
  logger: kernel.ComponentLogger,
): types.TargetPool {
  const network = services.find(fleet.PEER_NETWORK);
  const membership = services.find(fleet.MEMBERSHIP);
  const self = network?.self ?? membership?.self ?? {
    vm: settings.vm,
    incarnation: model.createIncarnation(),
    dataCentre: settings.dataCentre,
  };
  return new adaptivePool.AdaptivePool({
    self,
    configuration: services.get(configuration.CONFIGURATION),
    metrics: services.get(kernel.METRICS),
    logger,
    pauses: services.find(kernel.PAUSE_DETECTOR),
    network,
    membership,
  }, { probe: new probes.HttpProbe() });
}
