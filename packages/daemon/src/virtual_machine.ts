/**
 * Creates the services of one VM and registers them in a kernel.
 */

import * as claims from "@hemlockwalk/claims";
import * as configuration from "@hemlockwalk/configuration";
import * as fleet from "@hemlockwalk/fleet";
import * as gateway from "@hemlockwalk/gateway";
import * as kernel from "@hemlockwalk/kernel";
import * as limits from "@hemlockwalk/limits";
import * as model from "@hemlockwalk/model";
import * as targets from "@hemlockwalk/targets";
import type bunyan from "bunyan";
import * as administration from "./administration.ts";

/** Factories that measurements replace, to run baselines or to inject faults. */
export interface ServiceFactories {
  createPeerNetwork(
    self: fleet.VmIdentity,
    options: fleet.PeerNetworkOptions,
  ): fleet.WebSocketPeerNetwork;
  createRateLimiter(services: kernel.Kernel, logger: kernel.ComponentLogger): limits.RateLimiter;
  createFairQueue(services: kernel.Kernel): limits.FairQueue;
  createTargetPool(
    services: kernel.Kernel,
    settings: model.Settings,
    logger: kernel.ComponentLogger,
  ): targets.TargetPool;
}

const DEFAULT_FACTORIES: ServiceFactories = {
  createPeerNetwork: (self, options) => new fleet.WebSocketPeerNetwork(self, options),
  createRateLimiter: (services, logger) => limits.createRateLimiter(services, logger),
  createFairQueue: (services) => new limits.WeightedFairQueue(services.get(kernel.METRICS)),
  createTargetPool: targets.createTargetPool,
};

/** Creates the kernel of a VM with all its services, ready to start. */
export function createVirtualMachine(
  settings: model.Settings,
  logger: bunyan,
  replacedFactories: Partial<ServiceFactories> = {},
): kernel.Kernel {
  const factories = { ...DEFAULT_FACTORIES, ...replacedFactories };
  const createLogger = (part: string) => new kernel.ComponentLogger(logger, part);
  const services = new kernel.Kernel();
  services.register(kernel.METRICS, new kernel.Metrics());
  services.register(kernel.PAUSE_DETECTOR, new kernel.PauseDetector());
  const network = registerPeerNetwork(services, settings, factories, createLogger("peers"));
  configuration.registerConfiguration(
    services,
    new configuration.PlatformClient(settings.platform.addresses),
    createLogger("configuration"),
  );
  const membership = registerMembership(services, settings, network, createLogger("membership"));
  registerClaims(services, settings);
  services.register(
    limits.RATE_LIMITER,
    factories.createRateLimiter(services, createLogger("limits")),
  );
  services.register(limits.FAIR_QUEUE, factories.createFairQueue(services));
  services.register(
    targets.TARGET_POOL,
    factories.createTargetPool(services, settings, createLogger("targets")),
  );
  services.register(
    gateway.GATEWAY,
    new gateway.Gateway(services, settings.listener, createLogger("gateway")),
  );
  services.register(
    administration.ADMINISTRATION,
    new administration.Administration(services, settings.admin.address),
  );
  if (membership !== undefined) {
    const announcement = new fleet.LeavingAnnouncement(membership);
    services.register(fleet.LEAVING_ANNOUNCEMENT, announcement);
  }
  return services;
}

/** Registers the peer network; returns undefined if the settings configure no peers. */
function registerPeerNetwork(
  services: kernel.Kernel,
  settings: model.Settings,
  factories: ServiceFactories,
  logger: kernel.ComponentLogger,
): fleet.WebSocketPeerNetwork | undefined {
  if (settings.peers === undefined) {
    return undefined;
  }
  const network = factories.createPeerNetwork(createIdentity(settings), {
    address: settings.peers.address,
    secrets: new fleet.FilePeerSecrets(settings.peers.secretFile),
    counters: new fleet.PeerCounters(services.get(kernel.METRICS)),
    logger,
  });
  services.register<fleet.PeerNetwork>(fleet.PEER_NETWORK, network);
  return network;
}

function registerMembership(
  services: kernel.Kernel,
  settings: model.Settings,
  network: fleet.WebSocketPeerNetwork | undefined,
  logger: kernel.ComponentLogger,
): fleet.GossipMembership | undefined {
  if (network === undefined || settings.peers === undefined) {
    const sole = new fleet.SoleMembership(createIdentity(settings), settings.listener.address);
    services.register<fleet.Membership>(fleet.MEMBERSHIP, sole);
    return undefined;
  }
  const membership = new fleet.GossipMembership({
    network,
    address: settings.peers.advertisedAddress ?? settings.peers.address,
    seeds: settings.peers.seeds.map((seed) => ({ ...seed, state: "live" as const })),
    list: services.get(configuration.VM_LIST_SOURCE),
    pauses: services.get(kernel.PAUSE_DETECTOR),
    counters: new fleet.MembershipCounters(services.get(kernel.METRICS)),
    logger,
  });
  network.useDirectory(membership);
  membership.onChange(() => network.dropStaleLinks());
  services.register<fleet.Membership>(fleet.MEMBERSHIP, membership);
  return membership;
}

/** Registers the claim store, unless the VM has no peers. */
function registerClaims(services: kernel.Kernel, settings: model.Settings): void {
  const network = services.find(fleet.PEER_NETWORK);
  if (network === undefined) {
    return;
  }
  services.register<claims.ClaimStore>(
    claims.CLAIM_STORE,
    new claims.FleetClaimStore({
      network,
      membership: services.get(fleet.MEMBERSHIP),
      configuration: services.get(configuration.CONFIGURATION),
      counters: new claims.ClaimCounters(services.get(kernel.METRICS)),
      timing: claims.createTiming(settings.claims.retentionMilliseconds),
    }),
  );
}

function createIdentity(settings: model.Settings): fleet.VmIdentity {
  return {
    vm: settings.vm,
    incarnation: model.createIncarnation(),
    dataCentre: settings.dataCentre,
  };
}
