/**
 * Wires the services of one VM into a kernel.
 */

import * as configuration from "@hemlockwalk/configuration";
import * as fleet from "@hemlockwalk/fleet";
import * as gateway from "@hemlockwalk/gateway";
import * as kernel from "@hemlockwalk/kernel";
import * as limits from "@hemlockwalk/limits";
import * as model from "@hemlockwalk/model";
import * as targets from "@hemlockwalk/targets";
import type bunyan from "bunyan";
import * as administration from "./administration.ts";

/** Creates the kernel of a VM with all its services, ready to start. */
export function createVirtualMachine(settings: model.Settings, logger: bunyan): kernel.Kernel {
  const services = new kernel.Kernel();
  services.register(kernel.METRICS, new kernel.Metrics());
  services.register(kernel.PAUSE_DETECTOR, new kernel.PauseDetector());
  registerFleet(services, settings);
  const platform = new configuration.PlatformClient(settings.platform.addresses);
  const configurationService = services.register<configuration.ConfigurationService>(
    configuration.CONFIGURATION,
    new configuration.PlatformConfiguration(
      platform,
      new kernel.PartLogger(logger, "configuration"),
    ),
  );
  services.register<limits.RateLimiter>(
    limits.RATE_LIMITER,
    new limits.StaticShareLimiter(configurationService),
  );
  services.register<limits.FairQueue>(limits.FAIR_QUEUE, new limits.ArrivalOrderQueue());
  services.register<targets.TargetPool>(
    targets.TARGET_POOL,
    targets.createTargetPool(services, settings, new kernel.PartLogger(logger, "targets")),
  );
  services.register(gateway.GATEWAY, new gateway.Gateway(services, settings.listener.address));
  services.register(
    administration.ADMINISTRATION,
    new administration.Administration(services, settings.admin.address),
  );
  return services;
}

function registerFleet(services: kernel.Kernel, settings: model.Settings): void {
  const self: fleet.VmIdentity = {
    vm: settings.vm,
    incarnation: model.createIncarnation(),
    dataCentre: settings.dataCentre,
  };
  const address = settings.peers?.address ?? settings.listener.address;
  services.register<fleet.Membership>(
    fleet.MEMBERSHIP,
    new fleet.SoleMembership(self, address),
  );
}
