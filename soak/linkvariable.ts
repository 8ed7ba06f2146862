/** Environment variable with the links of an entry's process as JSON: the link's address by the address that it stands for, each `host:port`. */
export const linksVariable = 'CROCUSWORKS_SOAK_LINKS';
