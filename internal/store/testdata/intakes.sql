CREATE TABLE intakes (
 server TEXT NOT NULL, class TEXT NOT NULL, tenant TEXT NOT NULL, once TEXT NOT NULL,
 at_ms BIGINT NOT NULL, result BLOB NOT NULL, PRIMARY KEY (server, class, tenant, once));
CREATE TABLE intents (
 server TEXT NOT NULL, class TEXT NOT NULL, tenant TEXT NOT NULL, once TEXT NOT NULL,
 at_ms BIGINT NOT NULL, PRIMARY KEY (server, class, tenant, once));
INSERT INTO intakes VALUES ('n0', 'lot-intake', 'hill-estate', 'k0', 6000, X'');
INSERT INTO intakes VALUES ('n0', 'lot-intake', 'hill-estate', 'k1', 5000, X'00666972737427FF');
INSERT INTO intakes VALUES ('n0', 'press-run', '', 'k4', 1764547200000, X'77696465');
INSERT INTO intents VALUES ('n0', 'lot-intake', '', 'k3', 0);
INSERT INTO intents VALUES ('n0', 'lot-intake', 'hill-estate', 'k0', 6000);
INSERT INTO intents VALUES ('n0', 'lot-intake', 'hill-estate', 'k1', 5000);
INSERT INTO intents VALUES ('n0', 'lot-intake', 'hill-estate', 'k2', 5500);
