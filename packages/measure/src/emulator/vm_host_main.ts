/**
 * A worker that runs several VMs, each with its own kernel.
 */

import * as configuration from "@hemlockwalk/configuration";
import * as daemon from "@hemlockwalk/daemon";
import * as fleet from "@hemlockwalk/fleet";
import * as kernel from "@hemlockwalk/kernel";
import * as limits from "@hemlockwalk/limits";
import * as model from "@hemlockwalk/model";
import * as targets from "@hemlockwalk/targets";
import type * as commands from "./commands.ts";
import * as ejectionLogs from "./ejection_log.ts";
import * as peerRelay from "./peer_relay.ts";
import * as worker from "./worker.ts";

const vms = new Map<string, kernel.Kernel>();
const relays = new Map<string, peerRelay.PeerRelay>();
const cuts = new Set<string>();
const ejectionLog = new ejectionLogs.EjectionLog();

/** The parts of the baseline variant: static shares, arrival order, round-robin, no detection. */
const BASELINE_PARTS: Partial<daemon.ServiceFactories> = {
  createRateLimiter: (services) =>
    new limits.StaticShareLimiter(services.get(configuration.CONFIGURATION)),
  createFairQueue: () => new limits.ArrivalOrderQueue(),
  createTargetPool: (services, _settings, logger) =>
    new targets.AdaptivePool({
      self: services.get(fleet.MEMBERSHIP).self,
      configuration: services.get(configuration.CONFIGURATION),
      metrics: services.get(kernel.METRICS),
      logger,
    }, { strategy: new targets.RoundRobinStrategy(), detection: false }),
};

function splitAddress(address: string): { readonly host: string; readonly port: number } {
  return kernel.getDefined(
    model.splitSocketAddress(address),
    "The addresses of a plan have a host and a port.",
  );
}

async function startRelay(plan: commands.VmPlan): Promise<void> {
  const { host, port } = splitAddress(plan.peerListener);
  const isCut = (from: string, to: string) => cuts.has(`${from} ${to}`);
  const relay = new peerRelay.PeerRelay(host, port, isCut);
  await relay.start(splitAddress(plan.peers).port);
  relays.set(plan.vm, relay);
}

function createSettings(
  plan: commands.VmPlan,
  request: commands.Commands["startVms"]["request"],
): model.Settings {
  const settings = model.parseSettings(JSON.stringify({
    vm: plan.vm,
    dataCentre: plan.dataCentre,
    listener: { address: plan.listener },
    admin: { address: plan.admin },
    platform: { addresses: [request.platformAddress] },
    peers: {
      address: plan.peerListener,
      advertisedAddress: plan.peers,
      secretFile: request.secretFile,
    },
  }));
  if (settings.isErr()) {
    throw new Error(settings.error.map((finding) => finding.text).join(" "));
  }
  return settings.value;
}

async function startVms(request: commands.Commands["startVms"]["request"]): Promise<undefined> {
  for (const plan of request.vms) {
    const vm = daemon.createVirtualMachine(
      createSettings(plan, request),
      ejectionLog.createLogger(plan.vm),
      request.variant === "baseline" ? BASELINE_PARTS : {},
    );
    await startRelay(plan);
    await vm.start();
    vms.set(plan.vm, vm);
  }
  return undefined;
}

async function reportVm(id: string, vm: kernel.Kernel): Promise<commands.VmReport> {
  const service = vm.get(configuration.CONFIGURATION);
  return {
    vm: id,
    ready: service.isReady(),
    note: service.getSnapshot()?.number ?? 0,
    metrics: await vm.get(kernel.METRICS).registry.metrics(),
  };
}

worker.serveCommands({
  startVms,
  async stopVm({ vm }) {
    await vms.get(vm)?.stop();
    vms.delete(vm);
    relays.get(vm)?.stop();
    relays.delete(vm);
    return undefined;
  },
  cutDataCentres({ from, to, cut }) {
    const direction = `${from} ${to}`;
    if (cut) {
      cuts.add(direction);
    } else {
      cuts.delete(direction);
    }
    return undefined;
  },
  reportVms: () => Promise.all([...vms].map(([id, vm]) => reportVm(id, vm))),
  takeEjections: () => ejectionLog.ejections,
  reportProcess: worker.getProcessReport,
});
