/**
 * Creates and wires the services of one VM of a fleet in which every VM holds all declarations and
 * targets.
 */

import * as declarations from "@hemlockwalk/declarations";
import * as kernel from "@hemlockwalk/kernel";
import * as mesh from "@hemlockwalk/mesh";
import * as placement from "@hemlockwalk/placement";
import type * as bunyan from "bunyan";
import * as budgets from "./budgets.ts";
import * as crashes from "./crash_monitor.ts";
import * as evacuationMonitors from "./evacuation_monitor.ts";
import * as forwarded from "./forwarded_requests.ts";
import * as hedges from "./hedges.ts";
import * as publishers from "./publisher.ts";
import * as rateStatements from "./rate_statements.ts";
import * as listeners from "./listener.ts";
import * as log from "./request_log.ts";
import * as paths from "./path_monitor.ts";
import * as sizes from "./response_sizes.ts";
import * as explanations from "./placement_explanation.ts";
import * as peers from "./serving_peers.ts";
import * as gates from "./start_gate.ts";
import * as connections from "./target_connections.ts";
import * as targetEndChecks from "./target_end_check.ts";
import * as trackers from "./target_tracker.ts";
import * as types from "./types.ts";
import * as requestQueues from "./request_queues.ts";

const HOUSEKEEPING_INTERVAL_MILLISECONDS = 1_000;

/** Names of the services of such a VM. */
export const MESH = kernel.createServiceName<mesh.Mesh>("mesh");
export const BUDGETS = kernel.createServiceName<budgets.Budgets>("budgets");
export const CALLER_LISTENER = kernel.createServiceName<listeners.CallerListener>(
  "caller-listener",
);

/** Settings of a VM. */
export interface ProxyVmOptions {
  readonly identity: mesh.MemberIdentity;
  readonly callerAddress: string;
  readonly listSeeds: () => readonly string[];
  readonly profile: types.HeaderProfile;
  readonly bounds: types.ProxyBounds;
  /** Regions of the data centres and of this VM; if undefined, all are unknown. */
  readonly regions?: placement.Regions | undefined;
  /** Whether the whole fleet starts for the first time. */
  readonly isFirstStart: boolean;
  /** Returns the options on hedging in force; absent: none. */
  readonly getHedging?: () => types.HedgingOptions;
  readonly rootLogger: bunyan;
}

/** A VM whose services have been wired but not started. */
export interface ProxyVm {
  readonly kernel: kernel.Kernel;
  readonly mesh: mesh.Mesh;
  readonly publisher: publishers.Publisher;
  /** Whether the VM is ready for callers. */
  readonly isReady: () => boolean;
  /** Explains where requests would be sent. */
  readonly explainer: explanations.PlacementExplainer;
}

/** Creates and wires all services. The caller registers the source of the declarations. */
export function createProxyVm(options: ProxyVmOptions): ProxyVm {
  const vm = new kernel.Kernel();
  const metrics = vm.register(kernel.METRICS, new kernel.Metrics());
  const createLogger = (part: string) => new kernel.ComponentLogger(options.rootLogger, part);
  const vmMesh = vm.register(
    MESH,
    new mesh.Mesh({
      self: options.identity,
      listSeeds: options.listSeeds,
      logger: createLogger("mesh"),
    }),
  );
  const sourceAddress = kernel.splitAddress(options.callerAddress).host;
  const store = new declarations.DeclarationStore();
  const directory = new declarations.TargetDirectory();
  const evacuations = new declarations.Evacuations();
  const homePolicy = new placement.HomePolicy(
    options.regions ?? { byDataCentre: new Map(), own: undefined },
  );
  const publisher = new publishers.Publisher(
    store,
    directory,
    evacuations,
    vmMesh,
    createLogger("declarations"),
    metrics,
  );
  const evacuationMonitor = new evacuationMonitors.EvacuationMonitor(
    store,
    directory,
    evacuations,
    homePolicy,
    createLogger("declarations"),
    metrics,
  );
  const tracker = new trackers.TargetTracker(
    directory,
    evacuations,
    homePolicy,
    vmMesh,
    createLogger("targets"),
    metrics,
    () => sharedBudgets.presentShare,
    sourceAddress,
    (service) => store.current?.findService(service)?.coldRequestsPerSecond,
    () => isCutOff(vmMesh, options.listSeeds()),
  );
  const statements = new rateStatements.RateStatements(publisher, createLogger("targets"));
  const path = vm.register(
    kernel.createServiceName<paths.PathMonitor>("path-monitor"),
    new paths.PathMonitor(
      directory,
      vmMesh,
      tracker.reachability,
      sourceAddress,
      createLogger("targets"),
      metrics,
    ),
  );
  const servingPeers = vm.register(
    kernel.createServiceName<peers.ServingPeers>("serving-peers"),
    new peers.ServingPeers(vmMesh, path, homePolicy),
  );
  const crashMonitor = vm.register(
    kernel.createServiceName<crashes.CrashMonitor>("crash-monitor"),
    new crashes.CrashMonitor(
      new targetEndChecks.TargetEndChecks(directory, tracker.reachability, sourceAddress),
      directory,
      vmMesh,
      createLogger("targets"),
      metrics,
    ),
  );
  const targetConnections = new connections.TargetConnections(sourceAddress);
  directory.onLeaving((entry) => {
    const { host, port } = kernel.splitAddress(entry.address);
    targetConnections.closeIdle(host, port);
  });
  const sharedBudgets = vm.register(
    BUDGETS,
    new budgets.Budgets(
      vmMesh,
      store,
      options.bounds,
      options.isFirstStart,
      createLogger("budgets"),
      metrics,
    ),
  );
  const vmHedges = new hedges.Hedges(options.getHedging ?? (() => types.NO_HEDGING), metrics);
  const startGate = vm.register(
    kernel.createServiceName<gates.StartGate>("start-gate"),
    new gates.StartGate(store, directory, {
      isCurrent: () => publisher.hasCurrentEvacuations,
      onConfirm: (listener) => evacuations.onConfirm(listener),
    }),
  );
  const listener = vm.register(
    CALLER_LISTENER,
    new listeners.CallerListener({
      callerAddress: options.callerAddress,
      bounds: options.bounds,
      store,
      logger: createLogger("callers"),
      metrics,
      onForwarded: (requestListener) => vmMesh.onRequest(requestListener),
      createContext: (stop) => ({
        profile: options.profile,
        store,
        tracker,
        budgets: sharedBudgets,
        hedges: vmHedges,
        connections: targetConnections,
        recordLeaving: (target) => publisher.publishLeaving(target),
        recordRate: (target, notice) => statements.record(target, notice),
        log: new log.RequestLog(
          createLogger("requests"),
          metrics.createCounter(
            "hemlockwalk_refused_after_arrival_total",
            "Requests refused as not run that a target or another VM had received.",
            ["outcome"],
          ),
        ),
        crashes: crashMonitor,
        queues: new requestQueues.RequestQueues(),
        responseSizes: new sizes.ResponseSizes(),
        counters: {
          requests: metrics.createCounter(
            "hemlockwalk_requests_total",
            "Requests by outcome.",
            ["outcome"],
          ),
          served: metrics.createCounter(
            "hemlockwalk_served_for_vms_total",
            "Requests that other VMs have passed on to this one, by outcome.",
            ["outcome"],
          ),
          targetRefusals: metrics.createCounter(
            "hemlockwalk_target_refusals_total",
            "Refusals of targets, by what tells to which attempt they belong.",
            ["reason", "attribution"],
          ),
          attemptsGivenUp: metrics.createCounter(
            "hemlockwalk_attempts_given_up_total",
            "Attempts that the VM has ended while their target or another VM may have been at work.",
            ["reason"],
          ),
          foreignResponses: metrics.createCounter(
            "hemlockwalk_foreign_responses_total",
            "Responses of targets that name another request than the one that they arrived for.",
            [],
          ),
        },
        latency: metrics.createLatency(
          "hemlockwalk_request_seconds",
          "Time from the arrival of a request to its final response.",
        ),
        getConfirmedAt: () => vmMesh.lastStoreResponseAt,
        stop,
        path,
        peers: servingPeers,
        forwardedRequests: new forwarded.ForwardedRequests(store, vmMesh, createLogger("peers")),
        startGate,
      }),
    }),
  );
  vm.register(
    kernel.createServiceName<kernel.Service>("housekeeping"),
    createHousekeeping(tracker, directory, crashMonitor, evacuations, evacuationMonitor),
  );
  return {
    kernel: vm,
    mesh: vmMesh,
    publisher,
    explainer: new explanations.PlacementExplainer({
      identity: options.identity,
      context: listener.context,
      directory,
    }),
    isReady: () => vm.state === "running" && !listener.isStopping && store.current !== undefined,
  };
}

/** Whether a VM knows no other one although there should be some. */
function isCutOff(vmMesh: mesh.Mesh, seeds: readonly string[]): boolean {
  return vmMesh.size === 1 && seeds.some((seed) => seed !== vmMesh.self.address);
}

function createHousekeeping(
  tracker: trackers.TargetTracker,
  directory: declarations.TargetDirectory,
  crashMonitor: crashes.CrashMonitor,
  evacuations: declarations.Evacuations,
  evacuationMonitor: evacuationMonitors.EvacuationMonitor,
): kernel.Service {
  let timer: NodeJS.Timeout | undefined;
  return {
    start() {
      timer = setInterval(() => {
        tracker.dropDepartedVms();
        directory.discardExpired();
        crashMonitor.discardExpired();
        evacuations.discardExpired();
        evacuationMonitor.check();
      }, HOUSEKEEPING_INTERVAL_MILLISECONDS);
    },
    stop() {
      clearInterval(timer);
      tracker.reachability.stop();
    },
  };
}
