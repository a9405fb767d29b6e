/** Rules that a cell uses until its operators apply their own. */
export const DEFAULT_RULES = `# Rules in force until operators apply their own.
classes:
  - { name: everything, kind: request, priority: 50, patience: 5s, bound: 60s, expected: 1s } # default
routes:
  - { path: "/**", class: everything } # default
`
