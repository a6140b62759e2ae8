/**
 * Commands from the experiment to its worker processes, and their answers.
 */

import type * as types from "../types.ts";

/** Addresses and identity of a VM that a worker runs. */
export interface VmPlan {
  readonly vm: string;
  readonly dataCentre: string;
  readonly listener: string;
  readonly admin: string;
  /** Address at which other VMs reach this one: a relay that can drop messages. */
  readonly peers: string;
  /** Address of the VM's own peer listener, behind the relay. */
  readonly peerListener: string;
}

/** Which implementations the VMs use. */
export type Variant = "built" | "baseline";

/** State of one VM, as its host reports it. */
export interface VmReport {
  readonly vm: string;
  readonly ready: boolean;
  /** Number of the release note in force; 0 for none. */
  readonly note: number;
  /** Metrics in the Prometheus text format. */
  readonly metrics: string;
}

/** An ejection that a VM logged. */
export interface EjectionRecord {
  readonly vm: string;
  /** `coordinator` for an ejection by the whole fleet, `local` for one by this VM alone. */
  readonly judge: string;
  readonly target: string;
  readonly fault: string;
  readonly scope: string;
}

/** Resources that a worker process has used. */
export interface ProcessReport {
  readonly cpuMilliseconds: number;
  readonly residentBytes: number;
}

/** The load that a caller host sends. */
export interface LoadPlan {
  readonly seed: number;
  readonly deployment: types.DeploymentPlan;
  /** Listener addresses of the VMs on the balancer's list. */
  readonly listeners: readonly string[];
  /** Load of each workspace as a share of its rate. */
  readonly load: number;
  /** Share of requests that are not idempotent. */
  readonly writes: number;
  /** Identifiers of this host's requests are congruent to `offset` modulo `stride`. */
  readonly offset: number;
  readonly stride: number;
}

/** Everything that the targets of a host received and ran. */
export interface TargetRecords {
  readonly runs: readonly types.RunRecord[];
  readonly attempts: readonly types.AttemptRecord[];
}

/** A command and its answer. */
export interface Commands {
  readonly startVms: {
    readonly request: {
      readonly vms: readonly VmPlan[];
      readonly platformAddress: string;
      readonly secretFile: string;
      readonly variant: Variant;
    };
    readonly answer: undefined;
  };
  readonly stopVm: { readonly request: { readonly vm: string }; readonly answer: undefined };
  readonly cutDataCentres: {
    /** IP addresses of the data centres. */
    readonly request: { readonly from: string; readonly to: string; readonly cut: boolean };
    readonly answer: undefined;
  };
  readonly reportVms: { readonly request: undefined; readonly answer: readonly VmReport[] };
  readonly takeEjections: {
    readonly request: undefined;
    readonly answer: readonly EjectionRecord[];
  };
  readonly reportProcess: { readonly request: undefined; readonly answer: ProcessReport };
  readonly startTargets: {
    readonly request: {
      readonly seed: number;
      readonly deployment: types.DeploymentPlan;
    };
    /** Address of each target by its identifier. */
    readonly answer: Readonly<Record<string, string>>;
  };
  readonly setFault: {
    readonly request: { readonly target: string; readonly fault: types.TargetFault | undefined };
    readonly answer: undefined;
  };
  readonly startClock: { readonly request: undefined; readonly answer: undefined };
  readonly takeRecords: { readonly request: undefined; readonly answer: TargetRecords };
  readonly startLoad: { readonly request: LoadPlan; readonly answer: undefined };
  readonly setListeners: {
    readonly request: { readonly listeners: readonly string[] };
    readonly answer: undefined;
  };
  readonly setLoadFactor: {
    readonly request: { readonly workspace: number; readonly factor: number };
    readonly answer: undefined;
  };
  readonly stopLoad: {
    readonly request: undefined;
    readonly answer: readonly types.RequestRecord[];
  };
}

/** The name of a command. */
export type CommandName = keyof Commands;

/** Handlers of the commands that one kind of worker supports. */
export type CommandHandlers = {
  readonly [Name in CommandName]?: (
    request: Commands[Name]["request"],
  ) => Promise<Commands[Name]["answer"]> | Commands[Name]["answer"];
};

/** A command as it is sent to a worker. */
export interface CommandMessage {
  readonly id: number;
  readonly name: CommandName;
  readonly request: unknown;
}

/** A worker's answer to a command. */
export interface AnswerMessage {
  readonly id: number;
  readonly answer?: unknown;
  readonly error?: string | undefined;
}
