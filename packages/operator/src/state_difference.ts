/**
 * The difference between two states as lists of entities.
 */

import * as util from "node:util";
import type * as configuration from "@hemlockwalk/configuration";
import * as model from "@hemlockwalk/model";
import type * as declarations from "./declarations.ts";

/** The differences in one section of the states. */
export interface SectionDifference {
  readonly added: readonly configuration.Entity[];
  readonly changed: readonly configuration.Entity[];
  readonly withdrawn: readonly string[];
}

/** The changes that turn one state into another. */
export interface StateDifference {
  /** Undefined if the fleet declaration is unchanged. */
  readonly fleet: model.FleetDeclaration | undefined;
  readonly sections: Readonly<Record<model.SectionName, SectionDifference>>;
  readonly isEmpty: boolean;
}

/** Compares two states. */
export function compareStates(
  from: declarations.EntityState,
  to: declarations.EntityState,
): StateDifference {
  const compareSection = (section: model.SectionName) =>
    compareTables(from.tables[section], to.tables[section]);
  const sections = {
    workspaces: compareSection("workspaces"),
    keys: compareSection("keys"),
    services: compareSection("services"),
    targets: compareSection("targets"),
    routes: compareSection("routes"),
  };
  const fleet = util.isDeepStrictEqual(from.fleet, to.fleet) ? undefined : to.fleet;
  const isEmpty = fleet === undefined &&
    Object.values(sections).every((section) =>
      section.added.length + section.changed.length + section.withdrawn.length === 0
    );
  return { fleet, sections, isEmpty };
}

function compareTables(
  from: ReadonlyMap<string, configuration.Entity>,
  to: ReadonlyMap<string, configuration.Entity>,
): SectionDifference {
  const added: configuration.Entity[] = [];
  const changed: configuration.Entity[] = [];
  for (const id of [...to.keys()].sort()) {
    const entity = to.get(id);
    const before = from.get(id);
    if (entity !== undefined && before === undefined) {
      added.push(entity);
    } else if (entity !== undefined && !util.isDeepStrictEqual(before, entity)) {
      changed.push(entity);
    }
  }
  const withdrawn = [...from.keys()].filter((id) => !to.has(id)).sort();
  return { added, changed, withdrawn };
}

/** Formats a difference, one entity per line. */
export function formatDifference(
  difference: StateDifference,
  from: declarations.EntityState,
): string[] {
  const lines: string[] = [];
  if (difference.fleet !== undefined) {
    lines.push(`~ fleet ${JSON.stringify(difference.fleet)}`);
  }
  for (const section of model.SECTION_NAMES) {
    const { added, changed, withdrawn } = difference.sections[section];
    const before = from.tables[section];
    lines.push(...withdrawn.map((id) => `- ${section} ${JSON.stringify(before.get(id))}`));
    lines.push(...added.map((entity) => `+ ${section} ${JSON.stringify(entity)}`));
    lines.push(...changed.map((entity) => `~ ${section} ${JSON.stringify(entity)}`));
  }
  return lines;
}
