/**
 * A self-contained HTML page of measured results.
 */

import type * as analysis from "../experiment/analysis.ts";
import * as table from "../experiment/table.ts";
import * as charts from "./charts.ts";

const STYLE = `
body { font: 15px/1.5 system-ui, sans-serif; margin: 2rem auto; max-width: 62rem; color: #222; }
table { border-collapse: collapse; margin: 1rem 0; }
td, th { border: 1px solid #ccc; padding: .25rem .6rem; text-align: left; }
figure { margin: 1rem 0; }
`;

/** Creates the page. The results of one file are shown side by side. */
export async function createPage(
  files: readonly { readonly name: string; readonly results: analysis.ExperimentResult[] }[],
): Promise<string> {
  const sections: string[] = [];
  for (const file of files) {
    sections.push(await createSection(file.name, file.results));
  }
  return `<!doctype html>
<html lang="en">
<head><meta charset="utf-8"><title>hemlockwalk measurements</title><style>${STYLE}</style></head>
<body><h1>hemlockwalk measurements</h1>
${sections.join("\n")}
</body></html>
`;
}

async function createSection(
  name: string,
  results: readonly analysis.ExperimentResult[],
): Promise<string> {
  const timelines: string[] = [];
  for (const result of results) {
    const chart = await charts.drawTimeline(result);
    timelines.push(`<h3>Requests, ${escapeHtml(result.variant)}</h3><figure>${chart}</figure>`);
  }
  return `<h2>${escapeHtml(name)}</h2>
${createHtmlTable(table.listTableCells(results))}
${timelines.join("\n")}
<h3>Latency</h3><figure>${await charts.drawLatency(results)}</figure>
<h3>Workspaces</h3><figure>${await charts.drawWorkspaces(results)}</figure>`;
}

function createHtmlTable(rows: readonly (readonly string[])[]): string {
  const lines = rows.map((cells, index) => {
    const tag = index === 0 ? "th" : "td";
    const row = cells.map((cell) => `<${tag}>${escapeHtml(cell)}</${tag}>`);
    return `<tr>${row.join("")}</tr>`;
  });
  return `<table>${lines.join("\n")}</table>`;
}

function escapeHtml(text: string): string {
  return text.replaceAll("&", "&amp;").replaceAll("<", "&lt;").replaceAll('"', "&quot;");
}
