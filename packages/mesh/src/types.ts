/**
 * Types of the mesh: members, links and what travels over them.
 */

import type * as model from "@hemlockwalk/model";

/** One life of one VM. */
export interface MemberIdentity {
  readonly vm: model.VmId;
  readonly incarnation: model.Incarnation;
  readonly dataCentre: model.DataCentreId;
  /** IP number and port of its listener for other VMs. */
  readonly address: string;
}

/** What one VM tells all others. */
export interface Report {
  readonly origin: MemberIdentity;
  /** Rises with each report of one incarnation. */
  readonly sequence: number;
  readonly isLeaving: boolean;
  /** Payloads by the name of the section. */
  readonly sections: Readonly<Record<string, unknown>>;
}

/** A part of the reports: this VM's share of it is collected, those of others are received. */
export interface ReportSection {
  /** What has changed since the last collection; undefined when nothing has. */
  collect(): unknown;
  /** Takes a payload of another VM. Its shape is not to be trusted. */
  receive(from: MemberIdentity, payload: unknown): void;
}

/** State that all VMs hold alike and that any of them may bring up to date. */
export interface Feed {
  /** Everything that a VM without knowledge needs. */
  createSnapshot(): unknown;
  /** Takes an update; returns whether any of it was new, so that it is passed on. */
  receive(payload: unknown): boolean;
}

/** Messages on a link. */
export type LinkMessage =
  | {
    readonly kind: "hello";
    readonly identity: MemberIdentity;
    readonly members: readonly MemberIdentity[];
    readonly feeds: Readonly<Record<string, unknown>>;
  }
  | { readonly kind: "role"; readonly role: LinkRole }
  | {
    readonly kind: "reports";
    readonly reports: readonly Report[];
    /** Age of the store's latest answer to any VM, in milliseconds; undefined without one. */
    readonly confirmedAge: number | undefined;
  }
  | { readonly kind: "feed"; readonly feed: string; readonly payload: unknown };

/** What the dialling VM uses a link for. */
export type LinkRole = "standby" | "subscription" | "bridge";
