/**
 * A worker that runs several VMs, each a kernel of its own.
 */

import * as configuration from "@hemlockwalk/configuration";
import * as daemon from "@hemlockwalk/daemon";
import * as kernel from "@hemlockwalk/kernel";
import * as model from "@hemlockwalk/model";
import type * as commands from "./commands.ts";
import * as worker from "./worker.ts";

const vms = new Map<string, kernel.Kernel>();

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
    peers: { address: plan.peers, secretFile: request.secretFile },
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
      kernel.createSilentLogger(),
    );
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
    return undefined;
  },
  reportVms: () => Promise.all([...vms].map(([id, vm]) => reportVm(id, vm))),
  reportProcess: worker.getProcessReport,
});
