/**
 * The target pool of a VM. It detects failing targets by the calls of all VMs, ejects them within
 * the limits of the floor, and chooses targets by their load.
 */

import type * as configuration from "@hemlockwalk/configuration";
import * as fleet from "@hemlockwalk/fleet";
import * as kernel from "@hemlockwalk/kernel";
import type * as model from "@hemlockwalk/model";
import * as exchanges from "./evidence_exchange.ts";
import * as messages from "./messages.ts";
import * as poolMetrics from "./pool_metrics.ts";
import * as options from "./pool_options.ts";
import * as probers from "./prober.ts";
import * as random from "./random.ts";
import * as detectors from "./local_fault_detector.ts";
import * as servicePools from "./service_pool.ts";
import * as strategies from "./power_of_two_strategy.ts";
import * as subsets from "./target_subset.ts";
import type * as types from "./types.ts";

const TICK_MILLISECONDS = 50;

/** The services of a VM that the pool uses. */
export interface PoolContext {
  readonly self: fleet.VmIdentity;
  readonly configuration: configuration.ConfigurationService;
  readonly metrics: kernel.Metrics;
  readonly logger: kernel.ComponentLogger;
  readonly pauses?: types.PauseSource | undefined;
  /** Absent on a VM without peers, which evaluates targets by its own calls alone. */
  readonly network?: fleet.PeerNetwork | undefined;
  readonly membership?: fleet.Membership | undefined;
}

/** Chooses targets for the requests of one VM. */
export class AdaptivePool implements types.TargetPool {
  readonly #context: PoolContext;
  readonly #poolContext: servicePools.ServicePoolContext;
  readonly #exchange: exchanges.EvidenceExchange | undefined;
  readonly #prober: probers.Prober | undefined;
  readonly #pools = new Map<model.ServiceId, servicePools.ServicePool>();
  readonly #listeners: ((service: model.ServiceId) => void)[] = [];
  readonly #stopping = new AbortController();
  #ticking: Promise<void> | undefined;

  constructor(context: PoolContext, poolOptions: options.PoolOptions = {}) {
    this.#context = context;
    const metrics = new poolMetrics.PoolMetrics(
      context.metrics,
      context.logger,
      (service, target) => this.#getTargetName(service, target),
    );
    const guards = poolOptions.guards ?? options.ALL_GUARDS;
    const detection = poolOptions.detection ?? true;
    const seed = poolOptions.seed ?? fleet.hashText(context.self.incarnation);
    this.#exchange = detection ? this.#createExchange(metrics, guards) : undefined;
    this.#prober = poolOptions.probe && new probers.Prober(poolOptions.probe, metrics);
    this.#poolContext = {
      self: context.self,
      strategy: poolOptions.strategy ??
        new strategies.PowerOfTwoStrategy(new random.RandomSource(seed)),
      metrics,
      guards,
      detection,
      localFaults: new detectors.LocalFaultDetector(guards.localFaultDetection),
      pauses: context.pauses,
      exchange: this.#exchange,
      onCapacity: (service) => this.#notify(service),
    };
    context.metrics.createGauge(
      "hemlockwalk_targets_out",
      "Targets of all services that this VM does not use, leaving ones not counted.",
      () => this.#countOutOfUse(),
    );
    context.metrics.createGauge(
      "hemlockwalk_target_requests_running",
      "Requests of this VM that run on targets.",
      () => this.runningRequests,
    );
    context.pauses?.onResume(() => this.#discardEvidence());
    context.configuration.onChange((change) => this.#update(change.current));
    const snapshot = context.configuration.getSnapshot();
    if (snapshot !== undefined) {
      this.#update(snapshot);
    }
  }

  start(): void {
    this.#ticking = this.#run();
  }

  async stop(): Promise<void> {
    this.#stopping.abort();
    this.#prober?.stop();
    await this.#ticking;
  }

  tryAcquire(request: types.TargetRequest): types.TargetLease | undefined {
    const pool = this.#pools.get(request.service);
    return pool?.tryAcquire(request, kernel.getMonotonicMilliseconds());
  }

  getConnectionLimit(target: model.TargetId): number {
    const snapshot = this.#context.configuration.getSnapshot();
    const service = snapshot?.findTarget(target)?.service;
    const connections = service && snapshot?.findService(service)?.connections;
    return subsets.getConnectionShare(connections ?? 1, snapshot?.fleet.vmLimit ?? 1);
  }

  onCapacity(listener: (service: model.ServiceId) => void): void {
    this.#listeners.push(listener);
  }

  /** Requests of this VM that run on targets. */
  get runningRequests(): number {
    let running = 0;
    for (const pool of this.#pools.values()) {
      running += pool.running;
    }
    return running;
  }

  /** The targets that this VM currently uses for requests of a route. */
  listInUse(service: model.ServiceId, route: model.RouteId): readonly model.Target[] {
    const now = kernel.getMonotonicMilliseconds();
    const selection = this.#pools.get(service)?.select(messages.createShortId(route), now);
    return selection?.inUse.map(({ target }) => target) ?? [];
  }

  /** Performs the work that is due: sends reports, evaluates targets and sends probes. */
  tick(): void {
    const now = kernel.getMonotonicMilliseconds();
    this.#exchange?.tick(now);
    for (const pool of this.#pools.values()) {
      pool.tick(now);
      for (const { target, shortId } of this.#prober ? pool.listOutOfUse(now) : []) {
        this.#prober?.probeIfAllowed(target, now, () => pool.recordProbeSuccess(shortId));
      }
    }
  }

  async #run(): Promise<void> {
    while (await kernel.sleep(TICK_MILLISECONDS, this.#stopping.signal)) {
      this.tick();
    }
  }

  #createExchange(
    metrics: poolMetrics.PoolMetrics,
    guards: options.Guards,
  ): exchanges.EvidenceExchange | undefined {
    const { network, membership, configuration: configurationService } = this.#context;
    if (network === undefined || membership === undefined) {
      return undefined;
    }
    return new exchanges.EvidenceExchange({
      network,
      membership,
      configuration: configurationService,
      metrics,
      guards,
      onLoads: (service, loads) => {
        this.#pools.get(service)?.applyLoads(loads, kernel.getMonotonicMilliseconds());
      },
    });
  }

  #update(snapshot: configuration.Snapshot): void {
    const now = kernel.getMonotonicMilliseconds();
    for (const service of [...this.#pools.keys()]) {
      if (snapshot.findService(service) === undefined) {
        this.#pools.delete(service);
      }
    }
    for (const service of snapshot.listServices()) {
      const existing = this.#pools.get(service.id);
      const pool = existing ?? new servicePools.ServicePool(this.#poolContext, service, now);
      this.#pools.set(service.id, pool);
      pool.update(service, snapshot, existing === undefined, now);
    }
    this.#exchange?.update(snapshot);
    this.#prober?.retain((target) => snapshot.findTarget(target) !== undefined);
    for (const service of this.#pools.keys()) {
      this.#notify(service);
    }
  }

  #getTargetName(service: model.ServiceId, shortId: types.ShortId): string {
    const declared = this.#context.configuration.getSnapshot()?.listTargets(service) ?? [];
    const target = declared.find(({ id }) => messages.createShortId(id) === shortId);
    return target?.id ?? "withdrawn";
  }

  #discardEvidence(): void {
    this.#exchange?.discardEvidence();
    for (const pool of this.#pools.values()) {
      pool.discardEvidence();
    }
  }

  #countOutOfUse(): number {
    const now = kernel.getMonotonicMilliseconds();
    let out = 0;
    for (const pool of this.#pools.values()) {
      out += pool.listOutOfUse(now).length;
    }
    return out;
  }

  #notify(service: model.ServiceId): void {
    for (const listener of this.#listeners) {
      listener(service);
    }
  }
}
